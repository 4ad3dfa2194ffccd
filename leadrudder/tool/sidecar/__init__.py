"""The sidecar: nodes beside an application, started, watched and ended together with it."""
