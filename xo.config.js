/** @type {import('xo').FlatXoConfig} */
export default [
	{ignores: ['dist/**', 'packages/*/dist/**']},
	{
		// The reasons for these exceptions are in docs/HOUSE-STYLE.md.
		rules: {
			'no-await-in-loop': 'off',
			'prefer-destructuring': 'off',
			'@stylistic/curly-newline': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-event-target': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/random-source.ts', '**/hashing.ts'],
		rules: {'no-bitwise': 'off'},
	},
	{
		files: ['**/__tests__/**'],
		rules: {
			'unicorn/no-await-expression-member': 'off',
			'unicorn/prefer-single-call': 'off',
			'no-unmodified-loop-condition': 'off',
		},
	},
];
