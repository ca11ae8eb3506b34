//! Operator API of the control instances and its client.
