import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RandomSource} from './random-source.js';

const unitsPerWord = 2 ** 32;

// The generator returns signed 32-bit numbers.
const offset = 2 ** 31;

// The generator's first outputs depend on few bits of a small seed.
const skippedOutputs = 16;

/** Random numbers from a seed; the same seed gives the same numbers. */
export class SeededRandomSource extends RandomSource {
	private readonly generator;

	/** @param seed - whole number */
	constructor(seed: number) {
		super();
		this.generator = xoroshiro128plus(seed);
		for (let index = 0; index < skippedOutputs; index++) {
			this.generator.next();
		}
	}

	override nextUnit(): number {
		return (this.generator.next() + offset) / unitsPerWord;
	}
}
