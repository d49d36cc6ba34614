//! The log service at its border: typed append outcomes, group commit, journals, retention.
