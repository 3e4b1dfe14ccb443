"""The declared data centres, services, targets and workloads."""
