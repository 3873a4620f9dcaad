package org.vanillatrestle.daemon.internal.routes;

import java.util.List;

import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.operator.OperatorService;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;

/**
 * Refuses operator requests on a VM without the role CONTROL. The refusal lists the VMs
 * that have the role.
 * <p>
 * Immutable. Must be called on the VM's event loop.
 */
public final class NotControlRoute implements HttpRoute {

	private final List<String> controlAddresses;

	/**
	 * Creates the route.
	 * @param controlAddresses the HTTP addresses of the VMs with the role CONTROL
	 */
	public NotControlRoute(List<String> controlAddresses) {
		this.controlAddresses = List.copyOf(controlAddresses);
	}

	@Override
	public boolean matches(String path) {
		return OperatorService.serves(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		sink.refuse(Refusals.notControl(this.controlAddresses));
		return null;
	}

}
