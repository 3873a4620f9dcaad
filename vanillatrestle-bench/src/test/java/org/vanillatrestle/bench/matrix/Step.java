package org.vanillatrestle.bench.matrix;

/**
 * Where on a request's way a fault strikes.
 */
enum Step {

	AUTHENTICATE, CONTRACT, CLASSIFY, REGION, CLAIM, SELECT, DISPATCH, ANSWER_FRAME, ANSWER_END, RECORD, ANNOUNCEMENT,
	SHUTDOWN

}
