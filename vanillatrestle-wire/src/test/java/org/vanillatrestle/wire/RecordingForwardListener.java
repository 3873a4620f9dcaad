package org.vanillatrestle.wire;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Records an answer; consumes what it gets unless told to be slow.
 */
final class RecordingForwardListener implements ForwardListener {

	final ByteArrayOutputStream data = new ByteArrayOutputStream();

	final List<ForwardFailure> failures = new ArrayList<>();

	ForwardStream stream;

	boolean slow;

	int heads;

	int ends;

	int bodyWritable;

	@Override
	public void onBodyWritable() {
		this.bodyWritable++;
	}

	@Override
	public void onHead(int status, List<Header> headers, String target) {
		this.heads++;
	}

	@Override
	public void onFrame(byte[] piece) {
		this.data.writeBytes(piece);
		if (!this.slow && this.stream != null) {
			this.stream.consumed(piece.length);
		}
	}

	@Override
	public void onEnd(Usage usage) {
		this.ends++;
	}

	@Override
	public void onFailed(ForwardFailure failure) {
		this.failures.add(failure);
	}

	boolean isDone() {
		return this.ends + this.failures.size() > 0;
	}

}
