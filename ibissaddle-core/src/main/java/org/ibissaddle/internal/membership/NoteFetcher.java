package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.membership.ControlLoopAction;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.note.NoteLedger;
import org.ibissaddle.note.NoteOfferResult;
import org.ibissaddle.note.NoteParts;
import org.ibissaddle.note.NoteSource;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ReleaseNote;

/** Fetches a newer note from a peer, with one request at a time, and answers such requests of peers. */
final class NoteFetcher {
    private final NoteLedger ledger;
    private final StringBuilder text = new StringBuilder();
    private Optional<Peer> source = Optional.empty();
    private boolean requestInFlight;
    private boolean fullTextOnly;
    private int nextPart;
    private long partsNumber;
    private long servedNumber;
    private List<String> servedParts = List.of();

    NoteFetcher(NoteLedger ledger) {
        this.ledger = ledger;
    }

    /** Records the number of the note that a peer holds, and selects the peer as source if its note is newer. */
    void recordPeerNumber(Peer peer, long number) {
        if (number > ledger.number() && !requestInFlight) {
            if (!source.filter(peer::equals).isPresent()) {
                discardParts();
            }
            source = Optional.of(peer);
        }
    }

    /** Returns the next request to the source, empty if there is no source or a request is in flight. */
    Optional<ControlLoopAction> nextRequest() {
        if (requestInFlight || source.isEmpty()) {
            return Optional.empty();
        }
        requestInFlight = true;
        String digest = fullTextOnly ? "" : ledger.digest();
        return Optional.of(
                new ControlLoopAction.RequestNote(source.get(), new NoteRequest(ledger.number(), digest, nextPart)));
    }

    void requestFailed() {
        requestInFlight = false;
        source = Optional.empty();
        discardParts();
    }

    private void discardParts() {
        nextPart = 0;
        partsNumber = 0;
        text.setLength(0);
    }

    List<NoteOfferResult> handleAnswer(Peer peer, NoteAnswer answer, long nowMs) {
        requestInFlight = false;
        List<NoteOfferResult> outcomes = new ArrayList<>();
        if (answer.number() <= ledger.number()) {
            source = Optional.empty();
            discardParts();
            return outcomes;
        }
        if (!answer.changes().isEmpty()) {
            for (String change : answer.changes()) {
                outcomes.add(ledger.offer(change, NoteSource.PEER, nowMs));
            }
            fullTextOnly = ledger.number() < answer.number();
            source = fullTextOnly ? Optional.of(peer) : Optional.empty();
            return outcomes;
        }
        if (partsNumber != answer.number()) {
            boolean wrongPart = nextPart != 0;
            discardParts();
            partsNumber = answer.number();
            if (wrongPart) {
                return outcomes;
            }
        }
        text.append(answer.text());
        nextPart++;
        if (nextPart >= answer.parts()) {
            outcomes.add(ledger.offer(text.toString(), NoteSource.PEER, nowMs));
            fullTextOnly = false;
            source = Optional.empty();
            discardParts();
        }
        return outcomes;
    }

    NoteAnswer answer(NoteRequest request) {
        Optional<ReleaseNote> note = ledger.inForce();
        if (note.isEmpty() || request.number() >= note.get().number()) {
            return new NoteAnswer(ledger.number(), List.of(), 0, "");
        }
        Optional<List<String>> changes = ledger.deltasSince(request.number(), request.digest());
        if (changes.isPresent() && request.part() == 0) {
            return new NoteAnswer(note.get().number(), changes.get(), 0, "");
        }
        if (servedNumber != note.get().number()) {
            servedParts = parts(note.get());
            servedNumber = note.get().number();
        }
        String part = request.part() >= 0 && request.part() < servedParts.size() ? servedParts.get(request.part()) : "";
        return new NoteAnswer(note.get().number(), List.of(), servedParts.size(), part);
    }

    private static List<String> parts(ReleaseNote note) {
        Map<String, String> values = NoteParts.split(note.number(), NoteWriter.write(note));
        List<String> parts = new ArrayList<>(values.values());
        if (parts.size() > 1) {
            parts.remove(parts.size() - 1);
        }
        return parts;
    }
}
