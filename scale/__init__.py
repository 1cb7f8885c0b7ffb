"""The scale rig: measures the gateway at sizes that no bench day has. The gateway does not import it."""
