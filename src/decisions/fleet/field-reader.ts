import {ProblemError} from '../../common/index.js';

/** Takes the fields of a message from a list, one after the other. */
export class FieldReader {
	static of(value: unknown): FieldReader {
		if (!Array.isArray(value)) {
			throw new ProblemError('peer-protocol', 'a list of fields is expected');
		}

		return new FieldReader(value);
	}

	private next = 0;

	constructor(private readonly fields: readonly unknown[]) {}

	value(): unknown {
		return this.fields[this.next++];
	}

	string(): string {
		const value = this.value();
		if (typeof value !== 'string') {
			throw this.problem('a text');
		}

		return value;
	}

	optionalString(): string | undefined {
		const value = this.value();
		if (value !== null && typeof value !== 'string') {
			throw this.problem('a text or null');
		}

		return value ?? undefined;
	}

	number(): number {
		const value = this.value();
		if (typeof value !== 'number' || !Number.isFinite(value)) {
			throw this.problem('a number');
		}

		return value;
	}

	boolean(): boolean {
		return this.number() !== 0;
	}

	list<T>(read: (fields: FieldReader) => T): T[] {
		const value = this.value();
		if (!Array.isArray(value)) {
			throw this.problem('a list');
		}

		return value.map((one) => read(FieldReader.of(one)));
	}

	strings(): string[] {
		const value = this.value();
		if (!Array.isArray(value) || value.some((one) => typeof one !== 'string')) {
			throw this.problem('a list of texts');
		}

		return value as string[];
	}

	private problem(expected: string): ProblemError {
		return new ProblemError(
			'peer-protocol',
			`field ${this.next} of a message between VMs is not ${expected}`,
		);
	}
}
