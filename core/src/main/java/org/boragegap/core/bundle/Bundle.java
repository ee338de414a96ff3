package org.boragegap.core.bundle;

import java.util.List;

/**
 * A configuration bundle as published.
 *
 * @param version one more than the parent's
 * @param parent id of the publication that it follows; empty for the first
 * @param publication random id of this publication
 * @param body the content, as the exact text that was signed
 * @param signatures who signed it off
 */
public record Bundle(
        long version, String parent, String publication, String body, List<Signature> signatures) {

    /**
     * One signature.
     *
     * @param signer name of the key
     * @param value Ed25519 signature in base64
     */
    public record Signature(String signer, String value) {}

    /** The exact text that signatures cover. */
    public String signedText() {
        return version + "\n" + parent + "\n" + publication + "\n" + body;
    }
}
