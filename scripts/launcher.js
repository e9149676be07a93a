import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {cachedDataVersionTag} from 'node:v8';
import {Script} from 'node:vm';

// Runs a bundled program with V8's code cache of the build, because compiling it takes most of the processor time of a start. V8 rejects a cache
// of another version, processor or set of flags, so there is one for each set, and the program is compiled where none fits.

/**
 * Compiles a bundle and evaluates it.
 *
 * @param {URL} bundle - The bundle, a CommonJS module in ASCII.
 * @param {URL} cache - Its code cache; the file need not exist.
 * @returns {{script: Script, exports: Record<string, Function>}} The compiled script and the exports of the module.
 */
export function loadBundle(bundle, cache) {
	const file = fileURLToPath(bundle);
	// No file has this name: to compose the message of a failed assertion, Node.js would parse the whole program, which takes seconds.
	const filename = `bundle:${path.basename(file)}`;
	const script = new Script(`(function (exports, require, module, __filename) {${readFileSync(file, 'latin1')}\n})`, {filename, cachedData: readCache(cache)});
	const module = {exports: {}};
	script.runInThisContext()(module.exports, createRequire(bundle), module, file);
	return {script, exports: module.exports};
}

function readCache(cache) {
	try {
		return readFileSync(cache);
	} catch {
		return undefined;
	}
}

/**
 * @param {string} digest - Digest of a bundle.
 * @returns {URL} The file of the bundle.
 */
export const bundleUrl = digest => new URL(`lacewingpoint-host-${digest}.cjs`, import.meta.url);

/**
 * @param {string} digest - Digest of a bundle.
 * @returns {URL} The file of its code cache for the version, the flags and the processor of this process.
 */
export const cacheUrl = digest => new URL(`lacewingpoint-host-${digest}-${cachedDataVersionTag()}.cache`, import.meta.url);

/**
 * Runs the host program next to this file.
 *
 * @param {string} digest - Digest of the bundle, part of the file names.
 */
export async function launch(digest) {
	const {exports} = loadBundle(bundleUrl(digest), cacheUrl(digest));
	await exports.runHost();
}
