#pragma once

#include "record.h"
#include "sockets.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// A service of one primary and its replicas, which speak the platform's line protocol, and the
// infrastructure's call that promotes one. A commit is acknowledged once a replica has received it.
// Everything runs in this process, with a thread for each connection.
class Databases
{
public:
    Databases(std::string service, int servers, int slots, Record &record);
    ~Databases();
    Databases(const Databases &) = delete;
    Databases &operator=(const Databases &) = delete;

    // Where POST /promotions is answered.
    const Address &promotions() const { return m_promotions; }
    // Begins to send status reports to the control VMs, as soon as they are known.
    void announceTo(std::vector<Address> controls);
    int primary() const;
    const Address &address(int server) const
    {
        return m_servers.at(static_cast<std::size_t>(server))->address;
    }
    // A dark server neither answers nor accepts connections; it goes on where it stopped.
    void setDark(int server, bool isDark);
    // Cuts the server off from the control VMs and the entry VM of its zone, or ends the cut.
    void setCut(int server, bool isCut);
    // Ends the server's connections and refuses new ones, until it is started again with its log.
    // What held it back before is forgotten then.
    void crash(int server);
    void restart(int server);
    void setPromoteTime(std::chrono::milliseconds time) { m_promoteTime = time; }
    // Returns how many orders to promote were accepted.
    int orderCount() const { return m_orderCount; }
    // Returns the server that the latest of these named.
    int orderedServer() const { return m_orderedServer; }
    // Returns how many commits of this statement or transaction the present primary's log holds.
    int count(const std::string &request) const;
    int promotionCount() const { return m_promotionCount; }
    static std::string id(int server) { return "i-" + std::to_string(server); }

private:
    struct Entry
    {
        std::uint64_t term;
        std::string request;
        std::string item;
        std::string data;
    };
    struct Server
    {
        Address address;
        int listener = -1;
        std::atomic<bool> isDark = false;
        std::size_t received = 0;
        std::uint64_t heldTerm = 0;
        std::vector<int> fillers {};
        std::atomic<bool> isCut = false;
        std::atomic<bool> isDown = false;
        std::atomic<int> life = 0;
        std::atomic<std::uint64_t> sequence = 0;
    };
    struct Connection
    {
        int server = 0;
        int socket = -1;
        char state = 'I';
        bool isCut = false; // while the server is cut off from the control VMs
        bool isReadOnly = false;
        std::uint64_t term = 0;
        std::vector<Entry> writes {};
    };

    void accept(int server);
    void serve(int server, int socket);
    bool waitWhileDark(const Server &server) const;
    std::string answer(Connection &connection, const std::string &line);
    std::string query(Connection &connection, const std::string &request, std::string text);
    std::string commit(Connection &connection, std::vector<Entry> writes);
    std::string read(const Connection &connection, const std::string &request,
                     const std::string &item);
    std::string status(const Connection &connection) const;
    std::string ready(const Connection &connection) const;
    std::string done(const Connection &connection, const std::string &proof) const;
    std::string refuse(Connection &connection, const std::string &code) const;
    std::uint64_t termAt(std::size_t length) const;
    void replicate();
    void announce();
    void takeOrders();
    int promote(const std::string &head, const std::string &body);
    void start(std::thread thread);

    const std::string m_service;
    const int m_slots;
    Record &m_record;
    std::vector<std::unique_ptr<Server>> m_servers;
    Address m_promotions;
    int m_promotionsListener = -1;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Entry> m_log; // of the present primary
    std::uint64_t m_term = 1;
    int m_primary = 0;
    std::uint64_t m_highestToken = 0;
    std::atomic<int> m_promotionCount = 0;
    std::atomic<int> m_orderCount = 0;
    std::atomic<int> m_orderedServer = -1;
    std::atomic<std::chrono::milliseconds> m_promoteTime {std::chrono::milliseconds(600)};
    std::vector<Address> m_controls;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_threadsMutex;
    std::vector<std::thread> m_threads;
};

} // namespace rig
