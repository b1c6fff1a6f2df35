/**
 * Attribution of a target's answers to commands, on connections on which nothing names the command
 * that an answer belongs to and answers may be sent again.
 */
package io.hickorydrift.core.answer;
