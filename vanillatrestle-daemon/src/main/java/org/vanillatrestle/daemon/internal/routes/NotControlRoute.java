package org.vanillatrestle.daemon.internal.routes;

import java.util.List;

import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.operator.OperatorService;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;

/**
 * Tells operators which VMs to ask, on a VM without the role CONTROL.
 * <p>
 * Immutable; used on the VM's event loop.
 */
public final class NotControlRoute implements HttpRoute {

	private final List<String> controls;

	/**
	 * Creates the route.
	 * @param controls the HTTP addresses of the VMs with the role CONTROL
	 */
	public NotControlRoute(List<String> controls) {
		this.controls = List.copyOf(controls);
	}

	@Override
	public boolean matches(String path) {
		return OperatorService.serves(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		sink.refuse(Refusals.notControl(this.controls));
		return null;
	}

}
