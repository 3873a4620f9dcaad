package org.vanillatrestle.bench.internal.service;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.vanillatrestle.bench.internal.standin.LoadReport;

/**
 * What the stand-in service remembers: balances, submissions and how many calls it is
 * serving.
 * <p>
 * Not thread safe; confined to the service's event loop.
 */
final class Ledger {

	private static final long OPENING_BALANCE = 1_000_000;

	private final Map<String, Long> balances = new HashMap<>();

	private final Map<String, String> submissions = new LinkedHashMap<>();

	private int running;

	private long payouts;

	void begin() {
		this.running++;
	}

	void end() {
		this.running--;
	}

	LoadReport load() {
		return new LoadReport(this.running, 0, 0);
	}

	long balance(String account) {
		return this.balances.getOrDefault(account, OPENING_BALANCE);
	}

	/**
	 * Pays out.
	 * @param account the account
	 * @param amount what is paid
	 * @return the payout's number, from 1
	 */
	long pay(String account, long amount) {
		this.balances.put(account, balance(account) - amount);
		return ++this.payouts;
	}

	/**
	 * Files a submission.
	 * @param title its title
	 * @return its id
	 */
	String submit(String title) {
		String id = "submission-" + (this.submissions.size() + 1);
		this.submissions.put(id, title);
		return id;
	}

	Optional<String> submission(String id) {
		return Optional.ofNullable(this.submissions.get(id));
	}

}
