"""`writ`: keeps the configuration, evacuations and members, each version agreed by ballots among a majority."""
