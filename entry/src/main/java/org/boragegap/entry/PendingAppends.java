package org.boragegap.entry;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Appends to the log that are not answered yet; any number of threads may wait for them. */
final class PendingAppends {
    private final Set<CompletableFuture<Void>> mPending = ConcurrentHashMap.newKeySet();

    /** Records that an append begins; the result is to be run when it is answered. */
    Runnable begin() {
        CompletableFuture<Void> append = new CompletableFuture<>();
        mPending.add(append);
        return () -> {
            mPending.remove(append);
            append.complete(null);
        };
    }

    /** Waits for the appends that have begun; false if some weren't answered in time. */
    boolean await(long timeoutMs) throws InterruptedException {
        CompletableFuture<Void> all =
                CompletableFuture.allOf(mPending.toArray(CompletableFuture[]::new));
        try {
            all.get(timeoutMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException("an append is never completed with an error", e);
        }
    }
}
