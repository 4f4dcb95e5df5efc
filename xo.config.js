/** @type {import('xo').FlatXoConfig} */
export default [
	{ignores: ['dist/**', 'out/**', 'target/**']},
	{
		prettier: 'compat',
		rules: {
			// Bounded sequential I/O is the normal case in a single-threaded daemon.
			'no-await-in-loop': 'off',
			// Files hold one class or factory; the default matches the house style's named exports.
			'import-x/no-default-export': 'off',
			// Transactions and queues read better with explicit index loops on hot paths.
			'unicorn/no-for-loop': 'off',
			// Server callbacks cannot be asynchronous, so they attach a rejection handler.
			'promise/prefer-await-to-then': 'off',
			// Wire formats of the platform and of OpenAI-style calls use snake case.
			'@typescript-eslint/naming-convention': 'off',
			camelcase: 'off',
			// The abstract seams declare asynchronous methods that fakes answer at once.
			'@typescript-eslint/require-await': 'off',
			// Many seams accept null from JSON.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['src/**/*.test.ts'],
		rules: {
			// Node:test collects the promises of its tests itself.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];
