import {ProblemError} from '../../common/index.js';

/**
 * Reads the positional fields of a message one after the other.
 *
 * Every method that expects a type throws ProblemError `peer-protocol` if the next field has another one
 * or is missing.
 */
export class FieldReader {
	static of(value: unknown): FieldReader {
		if (!Array.isArray(value)) {
			throw new ProblemError(
				'peer-protocol',
				'a message between VMs, and each record in it, must be a JSON array of fields',
			);
		}

		return new FieldReader(value);
	}

	private next = 0;

	constructor(private readonly fields: readonly unknown[]) {}

	/** @returns the next field unchecked; undefined after the last one */
	value(): unknown {
		return this.fields[this.next++];
	}

	string(): string {
		const value = this.value();
		if (typeof value !== 'string') {
			throw this.problem('a string');
		}

		return value;
	}

	/** @returns undefined for null */
	optionalString(): string | undefined {
		const value = this.value();
		if (value !== null && typeof value !== 'string') {
			throw this.problem('a string or null');
		}

		return value ?? undefined;
	}

	number(): number {
		const value = this.value();
		if (typeof value !== 'number' || !Number.isFinite(value)) {
			throw this.problem('a finite number');
		}

		return value;
	}

	/** @returns undefined for null */
	optionalNumber(): number | undefined {
		const value = this.value();
		if (
			value !== null &&
			(typeof value !== 'number' || !Number.isFinite(value))
		) {
			throw this.problem('a finite number or null');
		}

		return value ?? undefined;
	}

	/** @returns the default after the last field, for fields that older builds do not send */
	numberOr(defaultValue: number): number {
		return this.next < this.fields.length ? this.number() : defaultValue;
	}

	/** @returns the default after the last field, for fields that older builds do not send */
	stringOr(defaultValue: string): string {
		return this.next < this.fields.length ? this.string() : defaultValue;
	}

	/** @returns false for 0, true for any other number */
	boolean(): boolean {
		return this.number() !== 0;
	}

	/** @param read - decodes one element, which must itself be a list of fields */
	list<T>(read: (fields: FieldReader) => T): T[] {
		const value = this.value();
		if (!Array.isArray(value)) {
			throw this.problem('an array');
		}

		return value.map((item) => read(FieldReader.of(item)));
	}

	strings(): string[] {
		const value = this.value();
		if (
			!Array.isArray(value) ||
			value.some((item) => typeof item !== 'string')
		) {
			throw this.problem('an array of strings');
		}

		return value as string[];
	}

	private problem(expected: string): ProblemError {
		return new ProblemError(
			'peer-protocol',
			`field ${this.next} of a message between VMs, or of a record in it, must be ${expected}`,
		);
	}
}
