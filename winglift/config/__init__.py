"""The platform's settings file and the operators' script."""
