"""The leader's exclusive duties and their external operations: fenced, and recorded before they are sent."""
