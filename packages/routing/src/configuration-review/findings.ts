/** An entry of a configuration, by its position in its list. */
export type ConfigurationEntry = {
	readonly list: 'routes' | 'services' | 'workspaces';
	/** From 0. */
	readonly index: number;
};

/** Something that operators should know before they publish a configuration. */
export type ConfigurationFinding = {
	/** `error`: something cannot work as written. `warning`: it works, but probably not as meant. */
	readonly severity: 'error' | 'warning';
	/** What kind of matter it is. */
	readonly topic: 'reference' | 'never-matches' | 'contradicting-limits' | 'unused';
	/** `undefined` if it concerns the configuration as a whole. */
	readonly entry: ConfigurationEntry | undefined;
	readonly message: string;
};
