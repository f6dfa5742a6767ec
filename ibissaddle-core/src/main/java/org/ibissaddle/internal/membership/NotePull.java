package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.membership.Action;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.note.NoteLedger;
import org.ibissaddle.note.NoteParts;
import org.ibissaddle.note.NoteSource;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.Offered;
import org.ibissaddle.note.ReleaseNote;

/** Fetches a newer note from a peer, one question at a time, and answers peers that fetch. */
final class NotePull {
    private final NoteLedger ledger;
    private final StringBuilder text = new StringBuilder();
    private Optional<Peer> ahead = Optional.empty();
    private boolean asking;
    private boolean wholeOnly;
    private int part;
    private long partsOf;
    private long splitNumber;
    private List<String> split = List.of();

    NotePull(NoteLedger ledger) {
        this.ledger = ledger;
    }

    /** Records which note a peer holds. */
    void heard(Peer peer, long number) {
        if (number > ledger.number() && !asking) {
            if (!ahead.filter(peer::equals).isPresent()) {
                restart();
            }
            ahead = Optional.of(peer);
        }
    }

    /** Starts a question if a peer is ahead and none is open. */
    Optional<Action> start() {
        if (asking || ahead.isEmpty()) {
            return Optional.empty();
        }
        asking = true;
        String digest = wholeOnly ? "" : ledger.digest();
        return Optional.of(new Action.AskNote(ahead.get(), new NoteRequest(ledger.number(), digest, part)));
    }

    void failed() {
        asking = false;
        ahead = Optional.empty();
        restart();
    }

    private void restart() {
        part = 0;
        partsOf = 0;
        text.setLength(0);
    }

    List<Offered> answered(Peer peer, NoteAnswer answer, long nowMs) {
        asking = false;
        List<Offered> outcomes = new ArrayList<>();
        if (answer.number() <= ledger.number()) {
            ahead = Optional.empty();
            restart();
            return outcomes;
        }
        if (!answer.changes().isEmpty()) {
            for (String change : answer.changes()) {
                outcomes.add(ledger.offer(change, NoteSource.PEER, nowMs));
            }
            wholeOnly = ledger.number() < answer.number();
            ahead = wholeOnly ? Optional.of(peer) : Optional.empty();
            return outcomes;
        }
        if (partsOf != answer.number()) {
            boolean wrongPart = part != 0;
            restart();
            partsOf = answer.number();
            if (wrongPart) {
                return outcomes;
            }
        }
        text.append(answer.text());
        part++;
        if (part >= answer.parts()) {
            outcomes.add(ledger.offer(text.toString(), NoteSource.PEER, nowMs));
            wholeOnly = false;
            ahead = Optional.empty();
            restart();
        }
        return outcomes;
    }

    NoteAnswer answer(NoteRequest request) {
        Optional<ReleaseNote> note = ledger.inForce();
        if (note.isEmpty() || request.number() >= note.get().number()) {
            return new NoteAnswer(ledger.number(), List.of(), 0, "");
        }
        Optional<List<String>> changes = ledger.changesSince(request.number(), request.digest());
        if (changes.isPresent() && request.part() == 0) {
            return new NoteAnswer(note.get().number(), changes.get(), 0, "");
        }
        if (splitNumber != note.get().number()) {
            split = parts(note.get());
            splitNumber = note.get().number();
        }
        String piece = request.part() >= 0 && request.part() < split.size() ? split.get(request.part()) : "";
        return new NoteAnswer(note.get().number(), List.of(), split.size(), piece);
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
