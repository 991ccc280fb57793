//! Small stand-ins of the platform, model engines and plain services.
