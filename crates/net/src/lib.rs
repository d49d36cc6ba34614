//! Input and output: HTTP, peer calls, timers and the loops that run the reducers.
