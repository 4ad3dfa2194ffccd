"""The mesh's tool: checks a configuration, rehearses the control state, shows both programs at work."""
