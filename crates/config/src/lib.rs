//! Checks and reads the two file formats: class configuration and process settings.
