"""The leader's work, one object per term: `lead` drives it, the other modules hold one concern each."""
