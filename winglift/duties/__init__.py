"""The leader's exclusive duties and their external operations, which are fenced and recorded before they are sent."""
