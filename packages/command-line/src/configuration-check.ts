import {readConfigurationFile} from '@lacewingpoint/platform-adapter';
import {
	type ConfigurationDifference, type ConfigurationFinding, compareConfigurations, reviewConfiguration,
} from '@lacewingpoint/routing';
import type {SettingsError} from '@lacewingpoint/shared';
import {Result} from 'true-myth';

/** A finding and where the entry that it concerns stands. */
export type LocatedFinding = Omit<ConfigurationFinding, 'entry'> & {
	/** From 1, like `column`; `undefined` if the finding concerns the configuration as a whole. */
	readonly line?: number;
	readonly column?: number;
};

/** What operators should know before they publish a configuration. */
export type ConfigurationCheck = {
	readonly version: number;
	readonly findings: readonly LocatedFinding[];
	/** `undefined` if there was nothing to compare with. */
	readonly differences: readonly ConfigurationDifference[] | undefined;
};

/**
 * Checks a configuration before it is published.
 *
 * @param text - The configuration, as operators write it.
 * @param inForceText - The configuration in force; `undefined` to leave out the comparison.
 * @returns The findings and differences, or the faults of a text that is not a configuration.
 */
export function checkConfiguration(text: string, inForceText: string | undefined): Result<ConfigurationCheck, SettingsError> {
	const inForce = inForceText === undefined ? undefined : readConfigurationFile(inForceText);
	if (inForce?.isErr === true) {
		return Result.err({...inForce.error, message: `configuration in force: ${inForce.error.message}`});
	}

	return readConfigurationFile(text).map(({configuration, locate}) => {
		const findings: LocatedFinding[] = reviewConfiguration(configuration).map(({entry, ...finding}) => ({...finding, ...(entry === undefined ? {} : locate(entry))}));
		const previous = inForce?.value.configuration;
		if (previous !== undefined && configuration.version <= previous.version) {
			findings.unshift({
				severity: 'error', topic: 'contradicting-limits', message: `version ${configuration.version} does not supersede version ${previous.version}, which is in force`,
			});
		}

		return {version: configuration.version, findings, differences: previous === undefined ? undefined : compareConfigurations(previous, configuration)};
	});
}

/**
 * Describes a check for people.
 *
 * @param check - The check.
 * @returns One line for each finding and each difference, and a summary at the end.
 */
export function describeCheck({version, findings, differences}: ConfigurationCheck): string[] {
	const errors = findings.filter(({severity}) => severity === 'error').length;
	return [
		...findings.map(({severity, line, column, message}) => `${severity}${line === undefined ? '' : ` at line ${line}, column ${column}`}: ${message}`),
		...(differences ?? []).map(({list, name, change, fields}) =>
			`${change} in ${list}: ${name}${fields.length === 0 ? '' : `; ${fields.map(({field, before, after}) => `${field} ${before} -> ${after}`).join(', ')}`}`),
		`version ${version}: ${errors} errors, ${findings.length - errors} warnings${differences === undefined ? '' : `, ${differences.length} differences from the version in force`}`,
	];
}
