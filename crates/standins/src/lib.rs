//! Small stand-ins for the platform's services, and the checker of recorded histories. Test support only.
