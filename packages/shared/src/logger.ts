import loglevel from 'loglevel';

/** One field of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes structured lines; used for changes of state only, counters carry the rest. */
export type Logger = {
	info(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
};

/**
 * Makes a logger that prints one JSON object a line.
 *
 * @param program - The name of the program that logs.
 * @param identity - The name of the host that it runs on.
 * @param wallClock - Gives the time of day for the line.
 * @param write - Takes each line; standard error where it is left out.
 * @returns The logger.
 */
export function createLogger(program: string, identity: string, wallClock: () => Date, write = writeToStandardError): Logger {
	const sink = loglevel.getLogger(program);
	sink.methodFactory = () => (line: unknown) => {
		write(String(line));
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

function writeToStandardError(line: string): void {
	process.stderr.write(`${line}\n`);
}

/** A logger that drops every line. */
export const silentLogger: Logger = {
	info() {/* Dropped. */},
	warn() {/* Dropped. */},
};
