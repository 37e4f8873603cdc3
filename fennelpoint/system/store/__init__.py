"""The store (`writ`): replicates the configuration, evacuations and members, each version agreed by a majority."""
