import {
	mkdir, readFile, readdir, writeFile,
} from 'node:fs/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const test = suite('examples in package READMEs');
const packages = new URL('../../../packages/', import.meta.url);
const exampleDirectory = new URL('../../../node_modules/.cache/lacewingpoint-examples/', import.meta.url);

const names = await readdir(packages);
await mkdir(exampleDirectory, {recursive: true});

for (const name of names) {
	test(`the example in the README of ${name} runs`, async () => {
		const readme = await readFile(new URL(`${name}/README.md`, packages), 'utf8');
		const example = /```ts\n(?<code>.*?)```/sv.exec(readme)?.groups?.code;
		assert.ok(example, 'the README has an example');
		const file = new URL(`${name}.mts`, exampleDirectory);
		await writeFile(file, example);
		await import(file.href);
	});
}

test.run();
