package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.book.BookOutcome.Accepted;
import org.vanillatrestle.internal.book.BookOutcome.Conflict;
import org.vanillatrestle.internal.book.BookOutcome.Repeated;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stateful fuzz tests of {@link ContractBook} and {@link BookFollower} against a
 * sequential oracle. Operators send conflicting and repeated changes, the book is
 * restored from snapshots, and pages between followers are lost, repeated and reordered.
 */
class ContractBookFuzzTests {

	private static final int STEPS = 150;

	private static final List<String> CUSTOMER_NAMES = List.of("himdugdha", "dossieria", "third");

	private static final Map<String, Contract> CONTRACTS_BY_DOCUMENT = new HashMap<>();

	private static final BookLimits LIMITS = new BookLimits(10, 1000, 100, 1000, 10, 1_000_000);

	@Property(seed = "4711", tries = 150, shrinking = ShrinkingMode.OFF)
	void shouldMatchTheOracle(@ForAll long seed) {
		Random random = new Random(seed);
		ContractBook book = new ContractBook(LIMITS);
		Oracle oracle = new Oracle();
		List<BookCommand> sent = new ArrayList<>();
		for (int i = 1; i <= STEPS; i++) {
			BookCommand command = randomCommand(random, oracle, sent);
			sent.add(command);
			assertThat(summarize(book.apply(i, command))).isEqualTo(oracle.apply(i, command));
			oracle.assertSameContracts(book);
			if (random.nextInt(10) == 0) {
				assertThat(book.audit(0, Optional.empty())).hasSize(i);
				book = restoreFromSnapshot(book);
			}
		}
		assertThat(book.audit(0, Optional.empty())).hasSize(STEPS);
	}

	@Property(seed = "4712", tries = 150, shrinking = ShrinkingMode.OFF)
	void shouldConvergeWithoutRevertingChanges(@ForAll long seed) {
		Random random = new Random(seed);
		ContractBook book = new ContractBook(LIMITS);
		Oracle oracle = new Oracle();
		FollowerNetwork network = new FollowerNetwork(random, book);
		for (int i = 1; i <= STEPS; i++) {
			oracle.apply(i, randomCommand(random, oracle, List.of()), book);
			network.step();
		}
		network.catchUp();
		network.followers.forEach((follower) -> oracle.assertSameContracts(follower.view()));
	}

	private static ContractBook restoreFromSnapshot(ContractBook book) {
		ContractBook restored = new ContractBook(LIMITS);
		restored.restore(book.snapshot());
		assertThat(restored.snapshot()).isEqualTo(book.snapshot());
		return restored;
	}

	private static BookCommand randomCommand(Random random, Oracle oracle, List<BookCommand> sent) {
		if (!sent.isEmpty() && random.nextInt(4) == 0) {
			return sent.get(random.nextInt(sent.size()));
		}
		String customer = CUSTOMER_NAMES.get(random.nextInt(CUSTOMER_NAMES.size()));
		long revision = Math.max(1, oracle.latestRevision(customer) + random.nextInt(4) - 1);
		if (random.nextInt(6) == 0) {
			return ContractDocuments.remove("asha", customer, revision);
		}
		return ContractDocuments.apply("bina", customer, revision, random.nextInt(3));
	}

	private static String summarize(BookOutcome outcome) {
		if (outcome instanceof Accepted accepted) {
			return "accepted " + accepted.revision() + " at " + accepted.index();
		}
		if (outcome instanceof Repeated repeated) {
			return "repeated " + repeated.revision() + " at " + repeated.index();
		}
		return "conflict with " + ((Conflict) outcome).revision();
	}

	/**
	 * A reference model that keeps every accepted change in one list.
	 */
	private static final class Oracle {

		private final List<AcceptedChange> acceptedChanges = new ArrayList<>();

		long latestRevision(String customer) {
			return this.acceptedChanges.stream()
				.filter((change) -> change.customer.equals(customer))
				.mapToLong(AcceptedChange::revision)
				.max()
				.orElse(0);
		}

		String apply(long index, BookCommand command) {
			AcceptedChange requested = AcceptedChange.of(index, command);
			for (AcceptedChange change : this.acceptedChanges) {
				if (change.isSameChange(requested)) {
					return "repeated " + change.revision + " at " + change.index;
				}
			}
			Optional<AcceptedChange> latest = latestChange(requested.customer);
			boolean removesNothing = requested.contract.isEmpty()
					&& (latest.isEmpty() || latest.get().contract.isEmpty());
			if (removesNothing || (latest.isPresent() && requested.revision != latest.get().revision + 1)) {
				return "conflict with " + latest.map(AcceptedChange::revision).orElse(0L);
			}
			this.acceptedChanges.add(requested);
			return "accepted " + requested.revision + " at " + index;
		}

		void apply(long index, BookCommand command, ContractBook book) {
			assertThat(summarize(book.apply(index, command))).isEqualTo(apply(index, command));
		}

		private Optional<AcceptedChange> latestChange(String customer) {
			return this.acceptedChanges.stream()
				.filter((change) -> change.customer.equals(customer))
				.reduce((first, second) -> second);
		}

		void assertSameContracts(ContractBook book) {
			for (String customer : CUSTOMER_NAMES) {
				assertThat(book.entry(new CustomerId(customer)).flatMap(BookEntry::contract))
					.isEqualTo(latestChange(customer).flatMap(AcceptedChange::contract));
			}
		}

		void assertSameContracts(BookView view) {
			for (String customer : CUSTOMER_NAMES) {
				Optional<Contract> contract = latestChange(customer).flatMap(AcceptedChange::contract);
				assertThat(view.contract(new CustomerId(customer))).isEqualTo(contract);
				assertThat(view.lookup(ContractDocuments.keySha256(customer)).map(CallerMatch::contract))
					.isEqualTo(contract);
			}
		}

	}

	private record AcceptedChange(long index, String customer, long revision, Optional<Contract> contract) {

		static AcceptedChange of(long index, BookCommand command) {
			if (command instanceof BookCommand.Remove remove) {
				return new AcceptedChange(index, remove.customer().value(), remove.revision(), Optional.empty());
			}
			Contract contract = CONTRACTS_BY_DOCUMENT.computeIfAbsent(((BookCommand.Apply) command).document(),
					ContractDocuments::parse);
			return new AcceptedChange(index, contract.customer().value(), contract.revision(), Optional.of(contract));
		}

		boolean isSameChange(AcceptedChange other) {
			return this.customer.equals(other.customer) && this.revision == other.revision
					&& this.contract.equals(other.contract);
		}

	}

	/**
	 * Followers that pull from the book and from each other over links that lose, repeat
	 * and reorder pages.
	 */
	private static final class FollowerNetwork {

		private final Random random;

		private final ContractBook book;

		private final List<BookFollower> followers = new ArrayList<>();

		private final Map<BookFollower, Map<CustomerId, Long>> latestRevisionsByFollower = new HashMap<>();

		private final List<Delivery> pendingDeliveries = new ArrayList<>();

		FollowerNetwork(Random random, ContractBook book) {
			this.random = random;
			this.book = book;
			for (int i = 0; i < 4; i++) {
				this.followers.add(new BookFollower());
			}
		}

		void step() {
			for (int i = 0; i < 4; i++) {
				BookFollower follower = this.followers.get(this.random.nextInt(this.followers.size()));
				pull(follower, randomSource());
				if (this.random.nextInt(3) > 0) {
					deliverRandomPage();
				}
			}
		}

		private BookSource randomSource() {
			int i = this.random.nextInt(this.followers.size() + 1);
			return (i == 0) ? this.book : this.followers.get(i - 1);
		}

		private void pull(BookFollower follower, BookSource source) {
			this.pendingDeliveries.add(new Delivery(follower, source.entriesAfter(follower.nextPullIndex(), 300)));
		}

		private void deliverRandomPage() {
			Delivery delivery = this.pendingDeliveries.get(this.random.nextInt(this.pendingDeliveries.size()));
			deliver(delivery);
			if (this.random.nextInt(3) > 0) {
				this.pendingDeliveries.remove(delivery);
			}
		}

		private void deliver(Delivery delivery) {
			long before = delivery.follower.changeIndex();
			delivery.follower.accept(delivery.page);
			assertThat(delivery.follower.changeIndex()).isGreaterThanOrEqualTo(before);
			assertRevisionsNeverDecrease(delivery.follower);
			assertAllChangesUpToIndexInForce(delivery.follower);
		}

		private void assertRevisionsNeverDecrease(BookFollower follower) {
			Map<CustomerId, Long> latestRevisions = this.latestRevisionsByFollower.computeIfAbsent(follower,
					(key) -> new HashMap<>());
			for (Contract contract : follower.view().contracts()) {
				Long previous = latestRevisions.put(contract.customer(), contract.revision());
				assertThat(contract.revision()).isGreaterThanOrEqualTo((previous != null) ? previous : 0);
			}
		}

		private void assertAllChangesUpToIndexInForce(BookFollower follower) {
			for (BookEntry entry : this.book.entries()) {
				if (entry.index() <= follower.changeIndex()) {
					assertThat(follower.view().contract(entry.customer())).isEqualTo(entry.contract());
				}
			}
		}

		void catchUp() {
			for (BookFollower follower : this.followers) {
				while (follower.changeIndex() < this.book.changeIndex()) {
					deliver(new Delivery(follower, this.book.entriesAfter(follower.nextPullIndex(), 300)));
				}
			}
		}

		private record Delivery(BookFollower follower, BookPage page) {

		}

	}

}
