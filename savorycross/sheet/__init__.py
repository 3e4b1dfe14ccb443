"""Reading, validation and publication of the operators' sheet."""
