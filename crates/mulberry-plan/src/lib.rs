//! Library with which operators build, print and apply a configuration.
