import loglevel from 'loglevel';

/** One field of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured lines; used for changes of state only, counters carry the rest. */
export type Logger = {
	info(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
};

/**
 * Makes a logger that prints one JSON object a line to standard error.
 *
 * @param program - The name of the program that logs.
 * @param identity - The name of the host that it runs on.
 * @param wallClock - Gives the time of day for the line.
 * @returns The logger.
 */
export function createLogger(program: string, identity: string, wallClock: () => Date): Logger {
	const sink = loglevel.getLogger(program);
	sink.methodFactory = () => (line: unknown) => {
		process.stderr.write(`${String(line)}\n`);
	};

	sink.setLevel('info', false);
	const line = (level: string, event: string, fields?: LogFields) => JSON.stringify({
		time: wallClock().toISOString(), level, program, identity, event, ...fields,
	});
	return {
		info(event, fields) {
			sink.info(line('info', event, fields));
		},
		warn(event, fields) {
			sink.warn(line('warn', event, fields));
		},
	};
}

/** A logger that drops every line. */
export const silentLogger: Logger = {
	info() {/* Dropped. */},
	warn() {/* Dropped. */},
};
