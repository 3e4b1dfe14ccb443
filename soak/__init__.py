"""Runs real instances among injected faults and checks what is promised."""
