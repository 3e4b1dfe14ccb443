"""Messages between instances, with their encoding and transport."""
