"""Forward sends of a call through an instance near their targets."""
