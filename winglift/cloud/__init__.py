"""Cloud API: client and machine inventory."""
