package org.ibissaddle.note;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NoteReaderTest {
    static final String COMPLETE_NOTE = """
            ; comment
            [note]
            number = 7
            [region north]
            [region south]
            [zone north-1]
            region = north
            [pool inspection]
            kind = model
            models = dossier@3.1, quick@1
            price-per-million-tokens = 2.5
            [pool ledger]
            kind = service
            checks-tokens = true
            [adapter prices.v2]
            model = quick@1
            [workspace yards.a]
            home = north
            requests-per-second = 2.5
            [workspace open]
            requests-per-second = 10
            weight = 3
            priority = 9
            [route stock]
            pool = ledger
            method = GET
            path = /stock
            repeatable = true
            [route rest]
            pool = ledger
            method = POST
            path = /
            [link south north]
            megabits-per-second = 100
            round-trip-ms = 55
            [spill]
            enabled = true
            max-share = 0.2
            """;

    private static ReleaseNote completeNote() throws NoteRejectedException {
        return NoteReader.read(COMPLETE_NOTE);
    }

    private static NoteRejectedException rejected(String text) {
        return rejected(text, Optional.empty());
    }

    private static NoteRejectedException rejected(String text, Optional<ReleaseNote> base) {
        return catchThrowableOfType(
                NoteRejectedException.class, () -> NoteReader.read(text, n -> base.filter(note -> note.number() == n)));
    }

    @Nested
    class CompleteNotes {
        @Test
        void shouldReadEverySection() throws NoteRejectedException {
            ReleaseNote note = completeNote();

            assertThat(note.number()).isEqualTo(7);
            assertThat(note.model("dossier")).contains(new ModelId("dossier", "3.1"));
            assertThat(note.pools().get(new PoolId("ledger")).checksTokens()).isTrue();
            assertThat(note.adapters().get(new AdapterId("prices.v2")).model()).isEqualTo(new ModelId("quick", "1"));
            assertThat(note.workspace(new WorkspaceId("yards.a")).orElseThrow().homeRegion())
                    .contains(new Region("north"));
            assertThat(note.route("GET", "/stock/9").orElseThrow().repeatable()).isTrue();
            assertThat(note.route("POST", "/stock/9").orElseThrow().repeatable())
                    .isFalse();
            assertThat(note.link(new Region("north"), new Region("south"))
                            .orElseThrow()
                            .bytesPerSecond())
                    .isEqualTo(12_500_000);
            assertThat(note.spill().maxShare()).isEqualTo(0.2);
        }

        @Test
        void shouldReadTheCanonicalTextBackToAnEqualNote() throws NoteRejectedException {
            ReleaseNote note = completeNote();

            assertThat(NoteReader.read(NoteWriter.write(note))).isEqualTo(note);
        }

        @Test
        void shouldComputeTheDigestFromContentNotFormatting() throws NoteRejectedException {
            ReleaseNote other = NoteReader.read(COMPLETE_NOTE.replace("= 2.5\n", "=   2.50\n"));
            ReleaseNote changed = NoteReader.read(COMPLETE_NOTE.replace("weight = 3", "weight = 4"));

            assertThat(other.digest()).isEqualTo(completeNote().digest());
            assertThat(changed.digest()).isNotEqualTo(completeNote().digest());
        }

        @Test
        void shouldReadFifteenThousandWorkspaces() throws NoteRejectedException {
            String many = IntStream.range(0, 15_000)
                    .mapToObj(i -> "[workspace w" + i + "]\nrequests-per-second = 1\n")
                    .collect(Collectors.joining());

            assertThat(NoteReader.read(COMPLETE_NOTE + many).workspaces()).hasSize(15_002);
        }
    }

    @Nested
    class Validation {
        @Test
        void shouldReportAllFaultsAtOnce() {
            String text = COMPLETE_NOTE
                    .replace("home = north", "home = west")
                    .replace("max-share = 0.2", "max-share = 1.5\nshare = 1")
                    .replace("kind = service", "knd = service")
                    .replace("number = 7", "number = seven");

            assertThat(rejected(text).faults())
                    .contains(
                            new NoteFault.InvalidValue("note", "number", "seven", "a whole number"),
                            new NoteFault.UndeclaredName("workspace yards.a", "home", "west"),
                            new NoteFault.InvalidValue("spill", "max-share", "1.5", "a number from 0.0 to 1.0"),
                            new NoteFault.UnknownKey("spill", "share"),
                            new NoteFault.MissingKey("pool ledger", "kind"),
                            new NoteFault.UnknownKey("pool ledger", "knd"));
        }

        @Test
        void shouldRejectMalformedSections() {
            assertThat(rejected("").faults()).contains(new NoteFault.MissingSection("note"));
            assertThat(rejected("a = 1\n" + COMPLETE_NOTE).faults())
                    .containsExactly(new NoteFault.KeyOutsideSection("a"));
            assertThat(rejected(COMPLETE_NOTE + "[what is]\nx = 1").faults())
                    .containsExactly(new NoteFault.UnknownSection("what is"));
            assertThat(rejected(COMPLETE_NOTE + "[workspace open]\nweight = 4").faults())
                    .containsExactly(new NoteFault.DuplicateKey("workspace open", "weight"));
        }

        @Test
        void shouldRejectInconsistentSections() {
            assertThat(rejected(COMPLETE_NOTE + "stop-below = 2").faults())
                    .containsExactly(new NoteFault.Contradiction("spill", "stop-below exceeds start-above"));
            assertThat(rejected(COMPLETE_NOTE + "[pool second]\nkind = model\nmodels = quick@1")
                            .faults())
                    .containsExactly(new NoteFault.Contradiction(
                            "pool second", "model quick@1 is served by pool inspection already"));
        }
    }

    @Nested
    class Deltas {
        @Test
        void shouldApplyAdditionsChangesAndWithdrawals() throws NoteRejectedException {
            ReleaseNote base = completeNote();
            String delta = """
                    [note]
                    number = 8
                    base = 7
                    [add workspace late]
                    requests-per-second = 1
                    [change workspace yards.a]
                    home =
                    [change pool inspection]
                    models = dossier@3.1, dossier@4, quick@1
                    [withdraw route stock]
                    """;

            ReleaseNote note = NoteReader.read(delta, n -> Optional.of(base));

            assertThat(note.workspaces()).hasSize(3);
            assertThat(note.workspace(new WorkspaceId("yards.a")).orElseThrow().homeRegion())
                    .isEmpty();
            assertThat(note.workspace(new WorkspaceId("yards.a")).orElseThrow().requestsPerSecond())
                    .isEqualTo(2.5);
            assertThat(note.model("dossier")).contains(new ModelId("dossier", "4"));
            assertThat(note.route("GET", "/stock").isEmpty()).isTrue();
            assertThat(note).isEqualTo(NoteReader.read(NoteWriter.write(note)));
        }

        @Test
        void shouldRejectChangesThatDoNotApplyToTheBase() throws NoteRejectedException {
            String delta =
                    "[note]\nnumber = 8\nbase = 7\n[add region north]\n[withdraw region east]\n[change zone z]\n";

            assertThat(rejected(delta, Optional.of(completeNote())).faults())
                    .containsExactly(
                            new NoteFault.AlreadyDeclared("region north"),
                            new NoteFault.NotDeclared("region east"),
                            new NoteFault.NotDeclared("zone z"));
            assertThat(rejected(delta).faults()).contains(new NoteFault.MissingBase(7));
            assertThat(rejected(COMPLETE_NOTE + "[add region west]").faults())
                    .contains(new NoteFault.MixedForms("add region west"));
        }

        @Test
        void shouldRejectAWithdrawalThatLeavesDanglingReferences() throws NoteRejectedException {
            String delta = "[note]\nnumber = 8\nbase = 7\n[withdraw pool inspection]\n";

            assertThat(rejected(delta, Optional.of(completeNote())).faults())
                    .containsExactly(new NoteFault.UndeclaredName("adapter prices.v2", "model", "quick@1"));
        }
    }
}
