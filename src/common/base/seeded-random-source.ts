import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RandomSource} from './random-source.js';

const unitsPerWord = 2 ** 32;

// The generator returns signed 32-bit numbers; the offset makes them non-negative.
const signOffset = 2 ** 31;

// The first outputs depend on only a few bits of a small seed, so they are discarded.
const discardedOutputs = 16;

/** Deterministic random numbers (xoroshiro128+): equal seeds give equal sequences. */
export class SeededRandomSource extends RandomSource {
	private readonly generator;

	/** @param seed - integer */
	constructor(seed: number) {
		super();
		this.generator = xoroshiro128plus(seed);
		for (let index = 0; index < discardedOutputs; index++) {
			this.generator.next();
		}
	}

	override nextUnit(): number {
		return (this.generator.next() + signOffset) / unitsPerWord;
	}
}
