package org.vanillatrestle.daemon.internal.cli;

import java.util.List;

/**
 * The operators' commands, to be registered by the command line.
 * <p>
 * Stateless and thread safe.
 */
public final class OperatorCommands {

	private OperatorCommands() {
	}

	/**
	 * Returns the commands.
	 * @return the commands, in the order of the help text
	 */
	public static List<Command> all() {
		return List.of(new ContractApplyCommand(), ContractReadCommand.get(), ContractReadCommand.list(),
				ContractReadCommand.status(), ContractReadCommand.history(), new ContractRemoveCommand(),
				new AuditCommand(), new StatusCommand(), new KeysHashCommand());
	}

}
