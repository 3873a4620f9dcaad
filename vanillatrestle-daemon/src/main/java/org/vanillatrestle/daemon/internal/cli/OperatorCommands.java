package org.vanillatrestle.daemon.internal.cli;

import java.util.List;

/**
 * The commands for operators, which the command line registers.
 * <p>
 * Stateless and thread safe.
 */
public final class OperatorCommands {

	private OperatorCommands() {
	}

	/**
	 * Returns all commands for operators.
	 * @return the commands, in the order in which the help text lists them
	 */
	public static List<Command> all() {
		return List.of(new ContractApplyCommand(), ContractReadCommand.get(), ContractReadCommand.list(),
				ContractReadCommand.status(), ContractReadCommand.history(), new ContractRemoveCommand(),
				new AuditCommand(), new StatusCommand(), new KeysHashCommand());
	}

}
