/** Which target connections are kept when there are fewer than organisations want. */
package io.hickorydrift.core.connection;
