import {
	mkdir, readFile, readdir, writeFile,
} from 'node:fs/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const test = suite('Examples of the packages\' pages');
const packages = new URL('../../../packages/', import.meta.url);
const folder = new URL('../../../node_modules/.cache/lacewingpoint-examples/', import.meta.url);

const names = await readdir(packages);
await mkdir(folder, {recursive: true});

for (const name of names) {
	test(`the example of ${name} runs as it stands`, async () => {
		const page = await readFile(new URL(`${name}/README.md`, packages), 'utf8');
		const example = /```ts\n(?<code>.*?)```/sv.exec(page)?.groups?.code;
		assert.ok(example, 'the page has an example');
		const file = new URL(`${name}.mts`, folder);
		await writeFile(file, example);
		await import(file.href);
	});
}

test.run();
