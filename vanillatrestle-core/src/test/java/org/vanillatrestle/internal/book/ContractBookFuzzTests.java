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
 * Stateful fuzzing of {@link ContractBook} and {@link BookFollower} against a sequential
 * oracle: operators race and resend, the book restarts from snapshots, pages between
 * copies are lost, repeated and reordered.
 */
class ContractBookFuzzTests {

	private static final int STEPS = 150;

	private static final List<String> CUSTOMERS = List.of("himdugdha", "dossieria", "third");

	private static final Map<String, Contract> PARSED = new HashMap<>();

	private static final BookLimits LIMITS = new BookLimits(10, 1000, 100, 1000, 10, 1_000_000);

	@Property(seed = "4711", tries = 150, shrinking = ShrinkingMode.OFF)
	void shouldAgreeWithTheOracle(@ForAll long seed) {
		Random random = new Random(seed);
		ContractBook book = new ContractBook(LIMITS);
		Oracle oracle = new Oracle();
		List<BookCommand> sent = new ArrayList<>();
		for (int i = 1; i <= STEPS; i++) {
			BookCommand command = command(random, oracle, sent);
			sent.add(command);
			assertThat(summary(book.apply(i, command))).isEqualTo(oracle.apply(i, command));
			oracle.requireSame(book);
			if (random.nextInt(10) == 0) {
				assertThat(book.audit(0, Optional.empty())).hasSize(i);
				book = restarted(book);
			}
		}
		assertThat(book.audit(0, Optional.empty())).hasSize(STEPS);
	}

	@Property(seed = "4712", tries = 150, shrinking = ShrinkingMode.OFF)
	void shouldConvergeWithoutReverting(@ForAll long seed) {
		Random random = new Random(seed);
		ContractBook book = new ContractBook(LIMITS);
		Oracle oracle = new Oracle();
		Copies copies = new Copies(random, book);
		for (int i = 1; i <= STEPS; i++) {
			oracle.apply(i, command(random, oracle, List.of()), book);
			copies.step();
		}
		copies.settle();
		copies.followers.forEach((follower) -> oracle.requireSame(follower.view()));
	}

	private static ContractBook restarted(ContractBook book) {
		ContractBook restarted = new ContractBook(LIMITS);
		restarted.restore(book.snapshot());
		assertThat(restarted.snapshot()).isEqualTo(book.snapshot());
		return restarted;
	}

	private static BookCommand command(Random random, Oracle oracle, List<BookCommand> sent) {
		if (!sent.isEmpty() && random.nextInt(4) == 0) {
			return sent.get(random.nextInt(sent.size()));
		}
		String customer = CUSTOMERS.get(random.nextInt(CUSTOMERS.size()));
		long revision = Math.max(1, oracle.revision(customer) + random.nextInt(4) - 1);
		if (random.nextInt(6) == 0) {
			return ContractDocuments.remove("asha", customer, revision);
		}
		return ContractDocuments.apply("bina", customer, revision, random.nextInt(3));
	}

	private static String summary(BookOutcome outcome) {
		if (outcome instanceof Accepted accepted) {
			return "accepted " + accepted.revision() + " at " + accepted.index();
		}
		if (outcome instanceof Repeated repeated) {
			return "repeated " + repeated.revision() + " at " + repeated.index();
		}
		return "conflict with " + ((Conflict) outcome).revision();
	}

	/**
	 * Keeps every accepted change in one list.
	 */
	private static final class Oracle {

		private final List<Accept> accepts = new ArrayList<>();

		long revision(String customer) {
			return this.accepts.stream()
				.filter((accept) -> accept.customer.equals(customer))
				.mapToLong(Accept::revision)
				.max()
				.orElse(0);
		}

		String apply(long index, BookCommand command) {
			Accept wanted = Accept.of(index, command);
			for (Accept accept : this.accepts) {
				if (accept.sameChange(wanted)) {
					return "repeated " + accept.revision + " at " + accept.index;
				}
			}
			Optional<Accept> last = last(wanted.customer);
			boolean removesNothing = wanted.contract.isEmpty() && (last.isEmpty() || last.get().contract.isEmpty());
			if (removesNothing || (last.isPresent() && wanted.revision != last.get().revision + 1)) {
				return "conflict with " + last.map(Accept::revision).orElse(0L);
			}
			this.accepts.add(wanted);
			return "accepted " + wanted.revision + " at " + index;
		}

		void apply(long index, BookCommand command, ContractBook book) {
			assertThat(summary(book.apply(index, command))).isEqualTo(apply(index, command));
		}

		private Optional<Accept> last(String customer) {
			return this.accepts.stream()
				.filter((accept) -> accept.customer.equals(customer))
				.reduce((first, second) -> second);
		}

		void requireSame(ContractBook book) {
			for (String customer : CUSTOMERS) {
				assertThat(book.entry(new CustomerId(customer)).flatMap(BookEntry::contract))
					.isEqualTo(last(customer).flatMap(Accept::contract));
			}
		}

		void requireSame(BookView view) {
			for (String customer : CUSTOMERS) {
				Optional<Contract> contract = last(customer).flatMap(Accept::contract);
				assertThat(view.contract(new CustomerId(customer))).isEqualTo(contract);
				assertThat(view.lookup(ContractDocuments.key(customer)).map(CallerMatch::contract)).isEqualTo(contract);
			}
		}

	}

	private record Accept(long index, String customer, long revision, Optional<Contract> contract) {

		static Accept of(long index, BookCommand command) {
			if (command instanceof BookCommand.Remove remove) {
				return new Accept(index, remove.customer().value(), remove.revision(), Optional.empty());
			}
			Contract contract = PARSED.computeIfAbsent(((BookCommand.Apply) command).document(),
					ContractDocuments::parse);
			return new Accept(index, contract.customer().value(), contract.revision(), Optional.of(contract));
		}

		boolean sameChange(Accept other) {
			return this.customer.equals(other.customer) && this.revision == other.revision
					&& this.contract.equals(other.contract);
		}

	}

	/**
	 * Copies that pull from the book and from each other over links that lose, repeat and
	 * reorder pages.
	 */
	private static final class Copies {

		private final Random random;

		private final ContractBook book;

		private final List<BookFollower> followers = new ArrayList<>();

		private final Map<BookFollower, Map<CustomerId, Long>> seen = new HashMap<>();

		private final List<Delivery> underWay = new ArrayList<>();

		Copies(Random random, ContractBook book) {
			this.random = random;
			this.book = book;
			for (int i = 0; i < 4; i++) {
				this.followers.add(new BookFollower());
			}
		}

		void step() {
			for (int i = 0; i < 4; i++) {
				BookFollower follower = this.followers.get(this.random.nextInt(this.followers.size()));
				pull(follower, source());
				if (this.random.nextInt(3) > 0) {
					deliverOne();
				}
			}
		}

		private BookSource source() {
			int i = this.random.nextInt(this.followers.size() + 1);
			return (i == 0) ? this.book : this.followers.get(i - 1);
		}

		private void pull(BookFollower follower, BookSource source) {
			this.underWay.add(new Delivery(follower, source.entriesAfter(follower.nextPullIndex(), 300)));
		}

		private void deliverOne() {
			Delivery delivery = this.underWay.get(this.random.nextInt(this.underWay.size()));
			deliver(delivery);
			if (this.random.nextInt(3) > 0) {
				this.underWay.remove(delivery);
			}
		}

		private void deliver(Delivery delivery) {
			long before = delivery.follower.changeIndex();
			delivery.follower.accept(delivery.page);
			assertThat(delivery.follower.changeIndex()).isGreaterThanOrEqualTo(before);
			requireNeverLower(delivery.follower);
			requireEverythingUpToItsIndex(delivery.follower);
		}

		private void requireNeverLower(BookFollower follower) {
			Map<CustomerId, Long> latest = this.seen.computeIfAbsent(follower, (key) -> new HashMap<>());
			for (Contract contract : follower.view().contracts()) {
				Long previous = latest.put(contract.customer(), contract.revision());
				assertThat(contract.revision()).isGreaterThanOrEqualTo((previous != null) ? previous : 0);
			}
		}

		private void requireEverythingUpToItsIndex(BookFollower follower) {
			for (BookEntry entry : this.book.entries()) {
				if (entry.index() <= follower.changeIndex()) {
					assertThat(follower.view().contract(entry.customer())).isEqualTo(entry.contract());
				}
			}
		}

		void settle() {
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
