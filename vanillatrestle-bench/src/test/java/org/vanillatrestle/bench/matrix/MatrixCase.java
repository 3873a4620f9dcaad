package org.vanillatrestle.bench.matrix;

import org.vanillatrestle.bench.internal.load.RequestKind;

/**
 * One case of the matrix.
 *
 * @param step where the fault strikes
 * @param fault what goes wrong
 * @param kind the kind of request
 * @param afterChunks after how many chunks of the answer it strikes
 * @param everyTarget whether it strikes every target, or one of two
 */
record MatrixCase(Step step, MatrixFault fault, RequestKind kind, int afterChunks, boolean everyTarget) {

	@Override
	public String toString() {
		return this.kind + " " + this.step + " " + this.fault + " after " + this.afterChunks
				+ (this.everyTarget ? " at every target" : " at one of two targets");
	}

}
