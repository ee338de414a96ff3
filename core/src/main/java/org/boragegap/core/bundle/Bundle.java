package org.boragegap.core.bundle;

import java.util.List;

/**
 * A configuration bundle as published.
 *
 * @param version one more than the parent's
 * @param parent id of the publication that this one follows; empty for the first
 * @param publication random id of this publication
 * @param body the content, exactly as it was signed
 * @param signatures signatures of {@link #signedText()}
 */
public record Bundle(
        long version, String parent, String publication, String body, List<Signature> signatures) {

    /**
     * A signature of a bundle.
     *
     * @param signer name of the signing key
     * @param value Ed25519 signature in base64
     */
    public record Signature(String signer, String value) {}

    /** The exact text that the signatures cover. */
    public String signedText() {
        return version + "\n" + parent + "\n" + publication + "\n" + body;
    }
}
