package org.ibissaddle.note;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NoteLedgerTest {
    private static final long NOW_MS = 1_000_000;

    private final NoteLedger ledger = new NoteLedger();

    private static String text(int number) {
        return NoteReaderTest.COMPLETE_NOTE.replace("number = 7", "number = " + number);
    }

    private NoteOfferResult offer(String text) {
        return ledger.offer(text, NoteSource.PLATFORM, NOW_MS);
    }

    @Nested
    class Offers {
        @Test
        void shouldAcceptOnlyHigherNumbers() {
            assertThat(offer(text(7))).isInstanceOf(NoteOfferResult.Accepted.class);
            assertThat(offer(text(7))).isEqualTo(new NoteOfferResult.AlreadyInForce(7));
            assertThat(offer(text(6))).isEqualTo(new NoteOfferResult.Older(6, 7));
            assertThat(offer(text(9))).isInstanceOf(NoteOfferResult.Accepted.class);
            assertThat(ledger.number()).isEqualTo(9);
        }

        @Test
        void shouldReportAConflictOnDifferentContentUnderTheSameNumber() {
            offer(text(7));
            String digest = ledger.digest();

            assertThat(offer(text(7).replace("priority = 9", "priority = 8")))
                    .isInstanceOf(NoteOfferResult.Conflict.class);
            assertThat(ledger.digest()).isEqualTo(digest);
            assertThat(ledger.status(NOW_MS).lastProblem()).containsInstanceOf(NoteOfferResult.Conflict.class);
        }

        @Test
        void shouldKeepTheNoteInForceWhenANewOneIsInvalid() {
            offer(text(7));

            assertThat(offer(text(8).replace("home = north", "home = west")))
                    .isEqualTo(new NoteOfferResult.Refused(
                            List.of(new NoteFault.UndeclaredName("workspace yards.a", "home", "west")),
                            NoteSource.PLATFORM));
            assertThat(ledger.number()).isEqualTo(7);
        }
    }

    @Nested
    class Freshness {
        @Test
        void shouldTrackTheLastConfirmation() {
            offer(text(7));
            ledger.recordConfirmation(7, ledger.digest(), NOW_MS + 5);
            ledger.recordConfirmation(7, ledger.digest(), NOW_MS + 3);
            ledger.recordConfirmation(6, "other", NOW_MS + 9);

            assertThat(ledger.lastConfirmedAtMs()).contains(NOW_MS + 5);
            assertThat(ledger.isOutdated()).isFalse();
        }

        @Test
        void shouldReportThatItIsBehind() {
            offer(text(7));
            ledger.recordConfirmation(8, "other", NOW_MS);

            assertThat(ledger.isOutdated()).isTrue();
        }
    }

    @Nested
    class Distribution {
        @Test
        void shouldReturnTheDeltasFromAnEarlierNote() throws NoteRejectedException {
            NoteLedger peer = new NoteLedger();
            offer(text(7));
            peer.offer(text(7), NoteSource.PLATFORM, NOW_MS);
            offer(text(8).replace("home = north\n", "").replace("[route stock]", "[route first]"));
            offer("[note]\nnumber = 9\nbase = 8\n[withdraw zone north-1]\n");

            List<String> changes = ledger.deltasSince(7, peer.digest()).orElseThrow();
            changes.forEach(change -> peer.offer(change, NoteSource.PEER, NOW_MS));

            assertThat(peer.inForce()).isEqualTo(ledger.inForce());
            assertThat(ledger.deltasSince(5, "unknown")).isEmpty();
        }

        @Test
        void shouldJoinOnlyPartsThatMatchTheIndex() throws NoteRejectedException {
            String text = text(7) + "; filler\n".repeat(200_000);
            Map<String, String> values = NoteParts.split(7, text);
            NoteParts.Index index =
                    NoteParts.parseIndex(values.get(NoteParts.VALUE_NAME)).orElseThrow();

            assertThat(index.digests()).hasSizeGreaterThan(1);
            assertThat(values.values()).allMatch(value -> value.length() <= NoteParts.MAX_PART_BYTES);
            assertThat(NoteParts.join(index, values)).isEqualTo(text);

            Map<String, String> damaged = new java.util.HashMap<>(values);
            damaged.put("note.2", "other");
            damaged.remove("note.1");
            assertThat(org.assertj.core.api.Assertions.catchThrowableOfType(
                                    NoteRejectedException.class, () -> NoteParts.join(index, damaged))
                            .faults())
                    .containsExactly(
                            new NoteFault.PartMismatch("note.1", "is missing"),
                            new NoteFault.PartMismatch("note.2", "does not match its digest in the index"));
        }
    }

    @Nested
    class Differences {
        @Test
        void shouldDescribeChangesAndTheirEffects() throws NoteRejectedException {
            ReleaseNote before = NoteReader.read(text(7));
            ReleaseNote after = NoteReader.read(text(8).replace("home = north\n", "home = south\n")
                    .replace("[route stock]\npool = ledger\nmethod = GET\npath = /stock\nrepeatable = true\n", ""));

            assertThat(NoteDiff.between(before, after).stream().map(NoteChange::message))
                    .containsExactly(
                            "changed workspace yards.a: home from north to south"
                                    + " (requests in flight complete where they run; new requests follow the changed home region)",
                            "withdrawn route stock (calls in flight complete; new calls match a later route or are refused)");
        }
    }
}
