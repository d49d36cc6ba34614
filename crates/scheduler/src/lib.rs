//! The scheduler daemon's reducer: control, journals, tasks, request keys and shares together.
